// Package config reads a daemon's settings from an INI file. Every value is checked; an error
// names the file, the section, the key, the problem and the allowed values. Unknown keys are
// errors, also those of unknown sections. Settings belong to a cell whose upstreams poll for their
// work, PushSettings to one in push mode, in which the leader sends its calls to the upstreams.
package config
