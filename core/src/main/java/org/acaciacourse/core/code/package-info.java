/**
 * Numbered result codes and what is known about a request having run.
 */
package org.acaciacourse.core.code;
