package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// tutorialStep is one command of the tutorial with its expected output.
type tutorialStep struct {
	command string
	want    []string
}

// matches reports whether an output is the expected one, apart from what normalize removes.
func (s tutorialStep) matches(got []string) bool {
	return slices.Equal(normalize(got), normalize(s.want))
}

// pauseTimeout bounds the wait for the state that a command with a pause shows.
const pauseTimeout = 10 * time.Second

// patience returns for how long a command is repeated until it shows what the page says. Commands that begin with a pause
// only read a state, which is reached later on a busy machine than the pause allows for; all others run once.
func (s tutorialStep) patience() time.Duration {
	if strings.HasPrefix(s.command, "sleep ") {
		return pauseTimeout
	}
	return 0
}

// tutorialSteps reads the commands in the console blocks of a page.
func tutorialSteps(t *testing.T, path string) []tutorialStep {
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	var steps []tutorialStep
	inside := false
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := lines.Text()
		command, isCommand := strings.CutPrefix(line, "$ ")
		switch {
		case strings.HasPrefix(line, "```"):
			inside = line == "```console"
		case inside && isCommand:
			steps = append(steps, tutorialStep{command: command})
		case inside:
			last := &steps[len(steps)-1]
			last.want = append(last.want, line)
		}
	}
	return steps
}

var (
	numberPattern = regexp.MustCompile(`\d+(\.\d+)?(ms|s\b)?`)
	workerPattern = regexp.MustCompile(`cordon|prado|pocitos`)
	pluralPattern = regexp.MustCompile(`\b(core|slot|connection)s\b`)
)

// normalize removes what differs between runs: numbers, times, the choice among equal workers,
// and the order of lines.
func normalize(lines []string) []string {
	var out []string
	for _, line := range lines {
		line = numberPattern.ReplaceAllString(strings.TrimSpace(line), "N")
		line = workerPattern.ReplaceAllString(line, "DOMAIN")
		line = pluralPattern.ReplaceAllString(line, "$1")
		out = append(out, strings.Join(strings.Fields(line), " "))
	}
	slices.Sort(out)
	return out
}

// TestTutorial runs every command of docs/TUTORIAL.md as written on a development cell and
// compares the output with that in the page.
func TestTutorial(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(dir, "bin")+"/", "./cmd/...")
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	startDevelopmentCell(t, dir)
	environment := "export BULRUSHWINCH_KEY=dev-caller-key"
	for _, step := range tutorialSteps(t, filepath.Join(root, "docs/TUTORIAL.md")) {
		if strings.HasPrefix(step.command, "export ") {
			environment = step.command
			continue
		}
		got := runTutorialStep(dir, environment, step.command)
		for until := time.Now().Add(step.patience()); !step.matches(got) && time.Now().Before(until); {
			got = runTutorialStep(dir, environment, step.command)
		}
		if !step.matches(got) {
			t.Errorf("$ %s\ngot:\n%s\nwant:\n%s", step.command, strings.Join(got, "\n"), strings.Join(step.want, "\n"))
		}
	}
}

// startDevelopmentCell starts the daemon and waits until its workers are active.
func startDevelopmentCell(t *testing.T, dir string) {
	daemon := exec.Command("./bin/bulrushwinchd", "-dev")
	daemon.Dir = dir
	if err := daemon.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = daemon.Process.Signal(os.Interrupt)
		_ = daemon.Wait()
	})
	for range 600 {
		out := runTutorialStep(dir, "export BULRUSHWINCH_KEY=dev-operator-key", "./bin/bulrushwinch status")
		if strings.Count(strings.Join(out, "\n"), "active") == 3 {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the development cell did not become ready")
}

// runTutorialStep runs one command line and returns its output, followed by its exit code if that
// is not 0.
func runTutorialStep(dir, environment, command string) []string {
	c := exec.Command("bash", "-c", environment+"; "+command+`; code=$?; [ $code = 0 ] || echo "exit $code"`)
	c.Dir = dir
	out, _ := c.CombinedOutput()
	return strings.Split(strings.TrimRight(string(out), "\n"), "\n")
}
