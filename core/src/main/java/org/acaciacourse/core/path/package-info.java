/**
 * The paths from an entry VM to the endpoints, directly or through another entry VM:
 * which of them work, and which one a connection takes.
 */
package org.acaciacourse.core.path;
