package clusterapi

import "encoding/json"

// Configuration is one version of the settings that all senders of a cluster share.
type Configuration struct {
	Version  uint64          // increases by one with each decided change; 0 for the process's own configuration file
	Settings json.RawMessage // the complete settings object, in the form of the configuration file
}
