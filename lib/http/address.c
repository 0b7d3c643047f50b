/* Numeric addresses, "IPV4:PORT". */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/base.h"
#include "http.h"

#define PORT_MAX 65535

int
ht_parse_address(const char *text, struct sockaddr_in *out)
{
	char host[HT_ADDRESS_BYTES_MAX];
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
	if (*end != '\0' || port > PORT_MAX)
		return CS_E_INVALID;
	if (uv_ip4_addr(host, (int)port, out) != 0)
		return CS_E_INVALID;
	return CS_OK;
}

void
ht_format_address(
    const struct sockaddr_in *address, char text[HT_ADDRESS_BYTES_MAX])
{
	char host[INET_ADDRSTRLEN];

	uv_ip4_name(address, host, sizeof(host));
	snprintf(text, HT_ADDRESS_BYTES_MAX, "%s:%u", host,
	    (unsigned)ntohs(address->sin_port));
}
