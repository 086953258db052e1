/**
 * The entry daemon for routed requests: forwards plain HTTP from callers to the endpoints
 * of a pool byte for byte. Metadata in headers is read and written by a
 * {@link org.acaciacourse.daemon.route.RequestDialect}.
 */
package org.acaciacourse.daemon.route;
