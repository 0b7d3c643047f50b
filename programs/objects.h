/* Kinds of objects in the store of `entry` and the operators' commands. */
#ifndef OB_OBJECTS_H
#define OB_OBJECTS_H

#define OB_CONFIG "routing" /* a single object */
#define OB_CONFIG_NAME "current"
#define OB_ENTRIES "entries"   /* entry VMs, by name */
#define OB_ACCOUNTS "accounts" /* one object for each process */
#define OB_CLAIMS "claims"     /* claims of bare idempotency keys */
#define OB_VMS "vms"	       /* list of the platform, by address */

#endif
