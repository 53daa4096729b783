/** Message codecs and the life cycle of requests; uses the layers api, state and coordination. */
package org.basilrill.protocol;
