/**
 * Tracking of content that may crash the endpoints that run it.
 */
package org.acaciacourse.core.dispatch.suspect;
