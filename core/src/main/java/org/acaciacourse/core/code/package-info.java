/**
 * Numbered result codes, the run state of requests, and limits on log lines.
 */
package org.acaciacourse.core.code;
