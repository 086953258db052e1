/**
 * The entry daemon: handles each request between caller, dispatcher and endpoints.
 */
package org.acaciacourse.daemon.entry;
