/**
 * Routes of plain HTTP requests to endpoint pools: the checked table, its parser, and the
 * fleet that serves it.
 */
package org.acaciacourse.core.route;
