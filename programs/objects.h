/* Kinds of objects that `entry` and the operators' commands keep. */
#ifndef OB_OBJECTS_H
#define OB_OBJECTS_H

#define OB_CONFIG "routing" /* the configuration, one object */
#define OB_CONFIG_NAME "current"
#define OB_ENTRIES "entries"   /* entry VMs, by name */
#define OB_ACCOUNTS "accounts" /* by process */
#define OB_CLAIMS "claims"     /* bare keys */
#define OB_VMS "vms"	       /* the platform's list, by address */

#endif
