/**
 * The table of settings and their checks.
 */
package org.acaciacourse.core.settings;
