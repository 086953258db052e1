/**
 * Customer limits.
 */
package org.acaciacourse.core.dispatch.admission;
