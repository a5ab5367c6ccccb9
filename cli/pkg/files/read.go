package files

import (
	"io"
	"os"
	"strings"

	"github.com/pkg/errors"

	"chervilusher.dev/lib/settings"
)

// Stdin is the path that means standard input.
const Stdin = "-"

// Read returns the whole file, or standard input for "-".
func Read(path string, stdin io.Reader) ([]byte, error) {
	if path == Stdin {
		raw, err := io.ReadAll(stdin)
		return raw, errors.Wrap(err, "cannot read standard input")
	}
	raw, err := os.ReadFile(path)
	return raw, errors.WithStack(err)
}

// Parse reads JSON with comments from a file into target; an unknown key is an error.
func Parse(path string, stdin io.Reader, target any) error {
	raw, err := Read(path, stdin)
	if err != nil {
		return err
	}
	return errors.Wrap(settings.Parse(raw, target), path)
}

// Token returns the token itself, or the first line of the file that holds it.
func Token(token, path string) (string, error) {
	if path == "" {
		return token, nil
	}
	if token != "" {
		return "", errors.New("give either --token or --token-file")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", errors.WithStack(err)
	}
	line, _, _ := strings.Cut(string(raw), "\n")
	return strings.TrimSpace(line), nil
}
