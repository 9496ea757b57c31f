// Package version holds the version number that the programs of this repository report.
package version

// Version is the version of all programs built from this source tree.
const Version = "0.1.0"
