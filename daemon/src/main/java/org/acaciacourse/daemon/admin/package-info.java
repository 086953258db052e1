/**
 * The address at which a daemon shows its health and its metrics.
 */
package org.acaciacourse.daemon.admin;
