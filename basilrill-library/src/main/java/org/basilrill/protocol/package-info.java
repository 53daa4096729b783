/** Message codecs, the life cycle of requests and the assembled instance. */
package org.basilrill.protocol;
