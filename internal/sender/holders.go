package sender

// This file divides the memory limit among the kinds of use that grow with what clients and endpoints send. It owns the
// holders and their metrics. No file may keep bytes of another process without a holder that bounds them, except where a
// constant does.
//
// What is turned away first: commands (-BUSY before they are parsed), then messages (-BUSY before they are accepted), then
// answers to commands that change nothing. Calls wait. Accepted messages are owed and are always held; their bodies are
// read back from the journal if memory has no room for them.

import (
	"flaxcove/internal/config"
	"flaxcove/internal/sender/memory"
)

// Shares of the memory limit, as reciprocals. Together they leave room for the program itself, for connections, and for
// garbage that is not collected yet.
const (
	inputDivisor      = 10
	messagesDivisor   = 16
	bodiesDivisor     = 32
	outputDivisor     = 16
	requestsDivisor   = 16
	endpointsDivisor  = 32
	listDivisor       = 16 // of one message of discovery, which takes several times as much while it is read
	rememberedDivisor = 32
	budgetDivisor     = 3 // of the budget of all holders
	keptBodiesDivisor = 2 // the share of the bodies' holder that bodies may keep after their records are written
	requestCopies     = 2 // copies of a request that exist while it is built
	writtenCopies     = 2 // copies of an answer that exist while it is written: netpoll has one
	freeAnswerBytes   = 4 << 10
	messageOverhead   = 2 << 10 // memory in bytes of an accepted message in all tables and timers, without its texts
)

// holders are the uses of memory that are accounted for.
type holders struct {
	budget          *memory.Budget
	input           *memory.Holder // incomplete commands, and commands that are queued for the loop
	messages        *memory.Holder // accepted messages without their bodies
	bodies          *memory.Holder // bodies of accepted messages
	output          *memory.Holder // answers that clients have not read
	requests        *memory.Holder // requests that are being written to endpoints
	endpoints       *memory.Holder // incomplete answers of endpoints
	rememberedBytes int64          // memory for messages that have ended, which endedIDs never exceeds
}

// init makes the holders for a memory limit.
func (h *holders) init(limits config.Limits) {
	limit := limits.MemoryMB << 20
	h.budget = memory.NewBudget(limit / budgetDivisor)
	h.input = h.budget.NewHolder(limit / inputDivisor)
	h.messages = h.budget.NewHolder(limit / messagesDivisor)
	h.bodies = h.budget.NewHolder(limit / bodiesDivisor)
	h.output = h.budget.NewHolder(limit / outputDivisor)
	h.requests = h.budget.NewHolder(limit / requestsDivisor)
	h.endpoints = h.budget.NewHolder(limit / endpointsDivisor)
	h.rememberedBytes = limit / rememberedDivisor
}

// memoryCounters returns the number of bytes that each holder holds, and what was discarded because nobody waited for it.
func (s *Sender) memoryCounters() []counter {
	return []counter{
		{"memory_budget", s.holders.budget.Limit()},
		{"memory_held", s.holders.budget.Held()},
		{"memory_input", s.holders.input.Held()},
		{"memory_messages", s.holders.messages.Held()},
		{"memory_bodies", s.holders.bodies.Held()},
		{"memory_output", s.holders.output.Held()},
		{"memory_requests", s.holders.requests.Held()},
		{"memory_endpoints", s.holders.endpoints.Held()},
		{"memory_remembered", s.recentlyEnded.bytes()},
		{"memory_journal", s.journal.Buffered()},
		{"abandoned", s.counts.abandoned}, // commands whose client left before they were handled or accepted
	}
}
