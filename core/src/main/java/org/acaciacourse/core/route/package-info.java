/**
 * Routing of plain HTTP requests to endpoint pools: the validated route table, its
 * parser, and the fleet of endpoints that serves it.
 */
package org.acaciacourse.core.route;
