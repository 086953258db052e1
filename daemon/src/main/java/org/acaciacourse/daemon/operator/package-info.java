/**
 * The operators' commands.
 */
package org.acaciacourse.daemon.operator;
