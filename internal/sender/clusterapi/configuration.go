package clusterapi

import "encoding/json"

// Configuration is one version of the settings that all senders of a cluster share.
type Configuration struct {
	Version  uint64          // counts up by one with each decided change; 0 for the process's own file
	Settings json.RawMessage // the whole settings object, as in the configuration file
}
