/** Message codecs, the life cycle of a request and the assembled instance. Nothing here does input or output. */
package org.basilrill.protocol;
