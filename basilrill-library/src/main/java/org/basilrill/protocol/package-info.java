<<<<<<< HEAD
/** Message codecs, the life cycle of a request and the assembled instance. Nothing here does input or output. */
=======
/** Message codecs, the life cycle of requests and the assembled instance. */
>>>>>>> dispatch
package org.basilrill.protocol;
