/**
 * Load tool: open loop, with the time counted from when a request should have been sent.
 */
package org.acaciacourse.bench.load;
