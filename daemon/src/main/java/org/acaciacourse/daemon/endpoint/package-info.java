/**
 * HTTP to the endpoints: calls, cancels, questions about a request and load reports.
 */
package org.acaciacourse.daemon.endpoint;
