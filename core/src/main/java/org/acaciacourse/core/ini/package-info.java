/**
 * Parsing of text in INI format: sections, keys, line numbers, units and problems.
 */
package org.acaciacourse.core.ini;
