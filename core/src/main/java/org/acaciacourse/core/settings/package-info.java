/**
 * The settings of the processes and their validation.
 */
package org.acaciacourse.core.settings;
