package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// vocabulary holds the words of generated prompts. The stand-ins only depend on their number.
var vocabulary = strings.Fields("rota keeper shift night house feeding enclosure handover morning " +
	"frame gilt leaf size bole clay gesso rabbit skin water oil burnish toning condition report treatment " +
	"loss flake crack lift consolidate bench stock ledger week day before after with and the of for on")

// PromptContent returns the task's prompt text: a shared prefix, random words, the kind's marker,
// and a last word that is unique to the task, so that an answer can be attributed to it.
func (t *Task) PromptContent(scenario string) string {
	var b strings.Builder
	if t.PrefixIndex >= 0 {
		shared := rand.New(rand.NewPCG(uint64(t.PrefixIndex), uint64(len(t.Kind.Name))))
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

// enginePrompt returns the prompt as the engine receives it: a chat message is rendered as its role
// and its text on one line.
func (t *Task) enginePrompt(content string) string {
	if t.Kind.Form == FormChat {
		return "user: " + content + "\n"
	}
	return content
}

// idempotencyKey returns a key that is unique across runs with different run names.
func (t *Task) idempotencyKey(run string) string {
	return fmt.Sprintf("%s-%x-%d", run, t.seed, t.Index)
}
