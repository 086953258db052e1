/**
 * What is known about each attempt of a request, and which answer belongs to it.
 */
package org.acaciacourse.core.delivery;
