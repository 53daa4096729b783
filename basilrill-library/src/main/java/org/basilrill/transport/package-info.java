/** Sockets, threads, disks, metrics and traces. */
package org.basilrill.transport;
