/**
 * Tracks whether the attempts of a request ran and merges their responses into one.
 */
package org.acaciacourse.core.delivery;
