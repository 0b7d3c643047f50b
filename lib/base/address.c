/* Parsing and formatting of numeric addresses, "IPV4:PORT". */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base.h"

int
cs_parse_address(const char *text, struct sockaddr_in *out)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (colon == NULL || colon == text || colon[1] < '0' || colon[1] > '9')
		return CS_E_INVALID;
	if ((size_t)(colon - text) >= sizeof(host))
		return CS_E_INVALID;
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end != '\0' || port > UINT16_MAX)
		return CS_E_INVALID;
	*out = (struct sockaddr_in){
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	return inet_pton(AF_INET, host, &out->sin_addr) == 1 ? CS_OK
							     : CS_E_INVALID;
}

void
cs_format_address(
    const struct sockaddr_in *address, char text[CS_ADDRESS_BYTES_MAX])
{
	char host[INET_ADDRSTRLEN] = "";

	inet_ntop(AF_INET, &address->sin_addr, host, sizeof(host));
	snprintf(text, CS_ADDRESS_BYTES_MAX, "%s:%u", host,
	    (unsigned)ntohs(address->sin_port));
}
