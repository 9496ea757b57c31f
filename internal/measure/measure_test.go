package measure

import (
	"context"
	"errors"
	"strings"
	"testing"
)

// TestRunPrintsEveryFigure guards against a failing figure that keeps others from being printed, and against a change
// of the line format.
func TestRunPrintsEveryFigure(t *testing.T) {
	figures := []Figure{
		{"a", func(context.Context, int64) (Result, error) { return Result{}, errors.New("broken") }},
		{"b", func(_ context.Context, seed int64) (Result, error) {
			return Result{Ours: float64(seed), Naive: 2, Bound: 0.95, Note: "k=v"}, nil
		}},
		{"c", func(context.Context, int64) (Result, error) { return Result{Ours: 1}, nil }},
	}
	var out strings.Builder
	if err := Run(context.Background(), &out, figures, 3); err == nil {
		t.Error("no error for a failed figure")
	}
	want := "a error=\"broken\"\nb ours=3 naive=2 ratio=1.5 bound=0.95 k=v\nc ours=1 naive=0 ratio=0\n"
	if out.String() != want {
		t.Errorf("got\n%s\nwant\n%s", out.String(), want)
	}
	if _, err := Select(figures, []string{"missing"}); err == nil {
		t.Error("an unknown name is accepted")
	}
	if got, err := Select(figures, []string{"b"}); err != nil || len(got) != 1 || got[0].Name != "b" {
		t.Errorf("Select: %v, %v", got, err)
	}
}
