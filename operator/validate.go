package operator

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiarouter/fuchsiarouter/document"
)

// validateCommand returns the command that checks section files without publishing them.
func (o *Client) validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check sections without publishing them",
		ArgsUsage: "DIRECTORY or SECTION.toml ...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "with-accepted", Usage: "validate together with the accepted revisions of all other sections"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			texts, err := readSectionFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			if c.Bool("with-accepted") {
				s, err := o.newSession(c)
				if err != nil {
					return err
				}
				defer s.close()
				ctx, cancel := context.WithTimeout(ctx, s.timeout)
				defer cancel()
				if err := s.loadState(ctx); err != nil {
					return err
				}
				texts = s.addAcceptedSections(texts)
			}
			_, err = document.Read(texts)
			return o.printProblems(c.Bool("json"), texts, err)
		},
	}
}

// printProblems prints whether the sections are valid, where validationErr is the error of
// document.Read. It returns an error if the sections are not valid.
func (o *Client) printProblems(json bool, texts []document.SectionText, validationErr error) error {
	var problems document.InvalidError
	if validationErr != nil && !errors.As(validationErr, &problems) {
		return validationErr
	}
	if json {
		if err := printJSON(o.Out, struct {
			Valid    bool               `json:"valid"`
			Problems []document.Problem `json:"problems"`
		}{len(problems) == 0, append([]document.Problem{}, problems...)}); err != nil {
			return err
		}
	} else if len(problems) == 0 {
		if _, err := fmt.Fprintf(o.Out, "%d sections are valid\n", len(texts)); err != nil {
			return errors.Wrap(err, "write result")
		}
	}
	if len(problems) > 0 {
		return withExitCode(ExitInvalid, problems)
	}
	return nil
}

// addAcceptedSections appends the accepted content of every section that is not among the
// texts, so that they can be validated as one document.
func (s *session) addAcceptedSections(texts []document.SectionText) []document.SectionText {
	given := map[document.Section]bool{}
	for _, text := range texts {
		given[text.Section] = true
	}
	for _, accepted := range s.state.AcceptedEdits() {
		if name := accepted.Record.Section; !given[name] {
			file := fmt.Sprintf("%s (revision %d)", name, accepted.Revision)
			texts = append(texts, document.SectionText{Section: name, File: file, Content: []byte(accepted.Record.Content)})
		}
	}
	return texts
}

// readSectionFiles reads the section files at the paths. For a directory, it reads all
// files with the suffix .toml in it. Each file is named after its section, with that suffix
// added; it is an error if there is no such section.
func readSectionFiles(paths []string) ([]document.SectionText, error) {
	if len(paths) == 0 {
		return nil, exitErrorf(ExitInvalid, "validate requires a directory, or files named after their sections, such as models.toml")
	}
	var texts []document.SectionText
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, withExitCode(ExitInvalid, err)
		}
		files := []string{path}
		if info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.toml")); err != nil {
				return nil, withExitCode(ExitInvalid, err)
			}
		}
		for _, file := range files {
			content, err := os.ReadFile(file)
			if err != nil {
				return nil, withExitCode(ExitInvalid, err)
			}
			name := document.Section(strings.TrimSuffix(filepath.Base(file), ".toml"))
			texts = append(texts, document.SectionText{Section: name, File: file, Content: content})
		}
	}
	if len(texts) == 0 {
		return nil, exitErrorf(ExitInvalid, "no file named SECTION.toml in %v", paths)
	}
	for _, text := range texts {
		if document.SectionKeys(text.Section) == nil {
			return nil, exitErrorf(ExitInvalid, "%s: unknown section %q, allowed: %v", text.File, text.Section, document.Sections())
		}
	}
	return texts, nil
}
