package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// vocabulary of prompts. Only the number of words matters to the stand-ins.
var vocabulary = strings.Fields("rota keeper shift night house feeding enclosure handover morning " +
	"frame gilt leaf size bole clay gesso rabbit skin water oil burnish toning condition report treatment " +
	"loss flake crack lift consolidate bench stock ledger week day before after with and the of for on")

// Content returns the task's own text: a shared prefix, random words, the kind's
// marker, and a last word that no other task has, so that an answer tells whose
// it is.
func (t *Task) Content(scenario string) string {
	var b strings.Builder
	if t.Prefix >= 0 {
		shared := rand.New(rand.NewPCG(uint64(t.Prefix), uint64(len(t.Kind.Name))))
		writeWords(&b, shared, t.Kind.SharedTokens)
	}
	writeWords(&b, rand.New(rand.NewPCG(t.seed, 0)), t.PromptTokens)
	b.WriteString(t.Kind.Marker)
	fmt.Fprintf(&b, " %s-%x-%d", scenario, t.seed, t.Index)
	return b.String()
}

func writeWords(b *strings.Builder, rng *rand.Rand, n int) {
	for range n {
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
}

// enginePrompt is the prompt that reaches the engine: a chat message is written
// as its role and its text on one line.
func (t *Task) enginePrompt(content string) string {
	if t.Kind.Form == FormChat {
		return "user: " + content + "\n"
	}
	return content
}

// idempotencyKey is unique over runs with different run names.
func (t *Task) idempotencyKey(run string) string {
	return fmt.Sprintf("%s-%x-%d", run, t.seed, t.Index)
}
