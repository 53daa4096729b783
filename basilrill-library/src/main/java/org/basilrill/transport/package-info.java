/** Sockets, disks and threads; the only layer that blocks. */
package org.basilrill.transport;
