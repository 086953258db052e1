/**
 * Manifests as text: canonical documents, deltas, parsing and checking.
 */
package org.acaciacourse.core.manifest;
