/**
 * Manifests as text: canonical documents, deltas, parsing and validation.
 */
package org.acaciacourse.core.manifest;
