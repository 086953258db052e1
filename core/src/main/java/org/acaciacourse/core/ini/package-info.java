/**
 * Text in INI form: sections, keys, lines, units and problems.
 */
package org.acaciacourse.core.ini;
