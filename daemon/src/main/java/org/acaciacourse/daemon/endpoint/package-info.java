/**
 * HTTP client for the endpoints: calls, cancellation, request status queries and load
 * reports.
 */
package org.acaciacourse.daemon.endpoint;
