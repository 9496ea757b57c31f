// Package rollout reconciles the engine of a local process with the model version and adapters in the configuration.
//
// The targets of a model change their version a few at a time, without a coordinator: each local process computes the
// update order from the VM list and asks the targets before it in that order which version they serve.
package rollout

import (
	"slices"

	"github.com/camphorbank/camphorbank/internal/config"
	"github.com/camphorbank/camphorbank/internal/port"
)

// CommandKind is the kind of a command to an engine.
type CommandKind string

// Kinds of commands to an engine.
const (
	CommandNone          CommandKind = ""
	CommandLoadVersion   CommandKind = "version" // the target must be out of service while the version loads
	CommandLoadAdapter   CommandKind = "load"
	CommandUnloadAdapter CommandKind = "unload"
)

// Command is one command to an engine. Its zero value means that there is nothing to do.
type Command struct {
	Kind    CommandKind
	Version string
	Adapter string
}

// NextCommand returns the next command that brings the engine closer to the model's configuration: first the version,
// then missing adapters, then adapters that are no longer configured. An empty version in the configuration leaves the
// engine's version as it is.
func NextCommand(want *config.Model, loaded port.EngineModel) Command {
	if want.Version != "" && want.Version != loaded.Version {
		return Command{Kind: CommandLoadVersion, Version: want.Version}
	}
	for _, a := range want.Adapters {
		if !slices.Contains(loaded.Adapters, a) {
			return Command{Kind: CommandLoadAdapter, Adapter: a}
		}
	}
	for _, a := range loaded.Adapters {
		if !slices.Contains(want.Adapters, a) {
			return Command{Kind: CommandUnloadAdapter, Adapter: a}
		}
	}
	return Command{}
}
