/**
 * Where streams began, so that those that break off go on at endpoints of the same
 * software version.
 */
package org.acaciacourse.core.stream;
