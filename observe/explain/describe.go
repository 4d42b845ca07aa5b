package explain

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// eventDescriptions maps a log event to a function that describes the event in plain English.
var eventDescriptions = map[string]func(Line) string{
	"placed": func(l Line) string {
		return fmt.Sprintf("it waited %s for placement and was allocated %s tokens of KV cache at %s; %s of all KV cache was free",
			formatSeconds(l.Field("waited")), l.Field("tokens"), l.Field("upstream"), formatPercent(l.Field("pool_free")))
	},
	"attempt failed": func(l Line) string {
		return fmt.Sprintf("an attempt at the %s upstream %s failed (%s); %s%s",
			l.Field("role"), l.Field("upstream"), l.Field("reason"), describeRan(l.Field("ran")), errorSuffix(l.Field("error")))
	},
	"prompt left to the decode engine": func(l Line) string {
		return fmt.Sprintf("none of %s prefill engines processed its prompt, so it was left to the decode engine%s", l.Field("tried"), errorSuffix(l.Field("last")))
	},
	"retried": func(l Line) string {
		return fmt.Sprintf("it was retried after %s sends (%s)", l.Field("sent"), l.Field("reason"))
	},
	"answered": func(l Line) string {
		return fmt.Sprintf("%s answered it with status %s, %s after it arrived", l.Field("upstream"), l.Field("status"), formatSeconds(l.Field("took")))
	},
	"answer broken off": func(l Line) string {
		return fmt.Sprintf("its answer ended early, %s after it arrived%s", formatSeconds(l.Field("took")), errorSuffix(l.Field("error")))
	},
	"refused": func(l Line) string {
		text := fmt.Sprintf("it was refused with status %s (%s), %s after it arrived: %s; %s",
			l.Field("status"), l.Field("reason"), formatSeconds(l.Field("held")), cmp.Or(l.Field("detail"), "no details are logged"), describeRan(l.Field("ran")))
		if retry := l.Field("retry_after"); retry != "" && retry != "0" {
			text += ", and its caller was told to retry after " + formatSeconds(retry)
		}
		return text
	},
}

// Sentences describes the timeline in sentences, in order. Lines of events without a description
// are omitted.
func (t Timeline) Sentences() []string {
	var sentences []string
	for i, line := range t.Lines {
		describe, found := eventDescriptions[line.Event]
		if !found {
			continue
		}
		suffix := ""
		if i == t.Deciding {
			suffix = "; this was the final outcome"
		}
		sentences = append(sentences, fmt.Sprintf("At %s on %s %s%s.",
			line.Time.Format("15:04:05.000"), cmp.Or(line.Field("instance"), line.Source), describe(line), suffix))
	}
	return sentences
}

// describeRan describes whether a request was executed, given the verdict's wire form.
func describeRan(ran string) string {
	switch ran {
	case "not_run":
		return "it did not run there"
	case "may_have_run":
		return "it may have run"
	case "ran":
		return "it ran"
	default:
		return "whether it ran is not logged"
	}
}

// errorSuffix returns an error in the form in which it is appended to a description.
func errorSuffix(err string) string {
	if err == "" {
		return ""
	}
	return ": " + err
}

// formatSeconds formats a duration that is logged in seconds.
func formatSeconds(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "an unknown duration"
	}
	return time.Duration(value * float64(time.Second)).Round(time.Millisecond).String()
}

func formatPercent(text string) string {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "an unknown share"
	}
	return fmt.Sprintf("%.0f %%", 100*value)
}
