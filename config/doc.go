// Package config reads a daemon's settings from an INI file. Every value is
// checked; an error names the file, the section, the key, what was wrong and
// what is allowed. Unknown sections and keys are refused.
package config
