/**
 * The entry daemon for routed requests: plain HTTP from callers to the endpoints of a
 * pool, passed on byte for byte. What stands in headers is read and written by a
 * {@link org.acaciacourse.daemon.route.RequestDialect}.
 */
package org.acaciacourse.daemon.route;
