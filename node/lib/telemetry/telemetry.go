// Package telemetry sets up logging, tracing and histograms.
package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// tracerName is the name of the OpenTelemetry tracer.
const tracerName = "github.com/laburnumloft/laburnumloft/node"

// Config configures logging and tracing.
type Config struct {
	// Program and ID are the service name and instance id of traces. Program is
	// also the name of the logger.
	Program, ID string
	// LogLevel is an hclog level; LogFormat is "text" or "json".
	LogLevel, LogFormat string
	LogOutput           io.Writer
	// TraceExporter is "off", "stdout" or "otlp".
	TraceExporter string
	// OTLPEndpoint is the URL of an OTLP/HTTP collector.
	OTLPEndpoint string
}

// NewLogger returns the root logger of a program.
func NewLogger(cfg Config) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       cfg.Program,
		Level:      hclog.LevelFromString(cfg.LogLevel),
		JSONFormat: cfg.LogFormat == "json",
		Output:     cfg.LogOutput,
	})
}

// StartTracing installs the global tracer provider and returns its shutdown
// function.
func StartTracing(ctx context.Context, cfg Config) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	var exporter sdktrace.SpanExporter
	var err error
	switch cfg.TraceExporter {
	case "stdout":
		exporter, err = stdouttrace.New()
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(cfg.OTLPEndpoint))
	default:
		return func(context.Context) error { return nil }, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "creating the trace exporter")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", cfg.Program),
			attribute.String("service.instance.id", cfg.ID),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Span starts a span.
func Span(ctx context.Context, name string, attrs ...attribute.KeyValue) (context.Context, trace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name, trace.WithAttributes(attrs...))
}

// EndSpan records the error in the span, if any, and ends the span.
func EndSpan(span trace.Span, err error) {
	if err != nil {
		span.RecordError(err)
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// Transport is a round tripper that starts a span for each request within a trace
// and adds the trace context to its headers.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. The span ends when the response header
// arrives, because a body may be streamed for a long time afterwards.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	if !trace.SpanContextFromContext(req.Context()).IsValid() {
		return t.Base.RoundTrip(req)
	}
	ctx, span := Span(req.Context(), "http.client",
		attribute.String("http.request.method", req.Method),
		attribute.String("server.address", req.URL.Host),
		attribute.String("url.path", req.URL.Path))
	req = req.Clone(ctx)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := t.Base.RoundTrip(req)
	EndSpan(span, err)
	return resp, err
}

// Handler returns a handler that extracts the trace context from requests and
// starts a span for each of them.
func Handler(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := Span(ctx, name, attribute.String("url.path", r.URL.Path))
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
