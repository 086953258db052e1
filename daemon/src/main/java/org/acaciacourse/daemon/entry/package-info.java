/**
 * The entry daemon: the life of a request between caller, dispatcher and endpoints.
 */
package org.acaciacourse.daemon.entry;
