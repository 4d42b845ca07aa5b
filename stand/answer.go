package stand

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of answers before max_tokens cuts them: from short confirmations to
// rota drafts, in tokens.
const (
	shortestAnswer = 16
	longestAnswer  = 256
)

// Finish reasons of a decode stream.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// CountTokens counts the tokens of a prompt as the stand-in engine does: one for
// each word between white space, at least one.
func CountTokens(prompt string) int {
	return max(1, len(strings.Fields(prompt)))
}

// PromptHash identifies a prompt in stats.
func PromptHash(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}

// Answer returns the tokens that every stand-in engine gives for a prompt. Each
// token names the prompt's hash and its own place, so that a token that is
// missing, doubled or another prompt's shows.
func Answer(prompt string, maxTokens int) []string {
	tokens, _ := answer(PromptHash(prompt), maxTokens)
	return tokens
}

// FinishReason returns the reason on the terminator of that answer.
func FinishReason(prompt string, maxTokens int) string {
	_, reason := answerLength(PromptHash(prompt), maxTokens)
	return reason
}

func answer(hash string, maxTokens int) (tokens []string, reason string) {
	length, reason := answerLength(hash, maxTokens)
	tokens = make([]string, 0, length)
	for i := range length {
		tokens = append(tokens, tokenAt(hash, i))
	}
	return tokens, reason
}

func answerLength(hash string, maxTokens int) (int, string) {
	length := shortestAnswer + int(xxhash.Sum64String(hash)%(longestAnswer-shortestAnswer+1))
	if length > maxTokens {
		return max(0, maxTokens), FinishLength
	}
	return length, FinishStop
}

func tokenAt(hash string, index int) string {
	return fmt.Sprintf("%s.%d ", hash, index)
}
