package port

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockWords is the length in words of a block of the engines' prefix
// cache. Engines of the kind served cache in blocks of 16 to 64 tokens; the
// coarsest of these keeps the number of hashes low.
const PrefixBlockWords = 64

// PromptMeasure is what can be told of a prompt without a tokenizer.
type PromptMeasure struct {
	// Tokens is the number of words, an estimate of the tokens.
	Tokens int
	// Prefixes are the hashes under which engines report cached prefixes: XXH64
	// over the first 64, 128, 192, ... words, each followed by one space, shortest
	// first. Words stand between white space.
	Prefixes []uint64
	// Fingerprint is the same hash over all words.
	Fingerprint uint64
}

// MeasurePrompt measures a prompt in one pass.
func MeasurePrompt(prompt string) PromptMeasure {
	var m PromptMeasure
	digest := xxhash.New()
	for word := range strings.FieldsSeq(prompt) {
		m.Tokens++
		// Digest.WriteString never fails.
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		if m.Tokens%PrefixBlockWords == 0 {
			m.Prefixes = append(m.Prefixes, digest.Sum64())
		}
	}
	m.Fingerprint = digest.Sum64()
	return m
}
