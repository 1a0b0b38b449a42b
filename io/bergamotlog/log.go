package bergamotlog

import (
	"io"

	"github.com/phuslu/log"
)

// Logger writes the log lines of one part of the system.
type Logger struct {
	logger log.Logger
	prefix string
}

// New returns a logger that writes JSON lines to w whose messages start with part.
func New(w io.Writer, entry, part string) *Logger {
	return &Logger{
		logger: log.Logger{
			Level:   log.InfoLevel,
			Writer:  &log.IOWriter{Writer: w},
			Context: log.NewContext(nil).Str("entry", entry).Value(),
		},
		prefix: part + ": ",
	}
}

// Info writes a line about normal operation.
func (l *Logger) Info(format string, a ...any) { l.logger.Info().Msgf(l.prefix+format, a...) }

// Warn writes a line about a failure that the system recovers from by itself.
func (l *Logger) Warn(format string, a ...any) { l.logger.Warn().Msgf(l.prefix+format, a...) }

// Error writes a line about a failure that needs an operator.
func (l *Logger) Error(format string, a ...any) { l.logger.Error().Msgf(l.prefix+format, a...) }
