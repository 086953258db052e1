/**
 * Finds the contents that crash the endpoints which run them.
 */
package org.acaciacourse.core.crash;
