/** Message codecs and the life cycle of requests. May use the layers api, state and coordination. */
package org.basilrill.protocol;
