package bergamotdemo_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotdemo"
	"bergamotspur/io/bergamotfake"
)

func TestDemo(t *testing.T) { bergamottest.Run(t, "demo") }

const layers = 12 // layers of the demo's model

// Guards against replies that an independent client library of the API cannot read.
var _ = ginkgo.Describe("an unmodified client library of the API", ginkgo.Ordered, func() {
	var client openai.Client

	ginkgo.BeforeAll(func() {
		demo := &bergamotdemo.Demo{Log: io.Discard}
		ginkgo.DeferCleanup(func() { gomega.Expect(demo.Close()).To(gomega.Succeed()) })
		gomega.Expect(demo.Start(context.Background())).To(gomega.Succeed())
		client = openai.NewClient(option.WithBaseURL("http://"+demo.Entries()[0].CallerAddress()+"/v1"), option.WithAPIKey(bergamotdemo.APIKey))
	})

	chat := func(model string) openai.ChatCompletionNewParams {
		return openai.ChatCompletionNewParams{
			Model: model, MaxCompletionTokens: openai.Int(25),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which oil for beech?")},
		}
	}
	want := bergamotfake.Reference("user: Which oil for beech?", 0, layers, 25)

	ginkgo.It("gets a chat completion", func(ctx context.Context) {
		answer, err := client.Chat.Completions.New(ctx, chat("advice"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(answer.Choices[0].Message.Content).To(gomega.Equal(want))
		gomega.Expect(answer.Choices[0].FinishReason).To(gomega.Equal("length"))
		gomega.Expect(answer.Usage.CompletionTokens).To(gomega.Equal(int64(25)))
	})

	ginkgo.It("streams a chat completion", func(ctx context.Context) {
		stream := client.Chat.Completions.NewStreaming(ctx, chat("advice"))
		var sum openai.ChatCompletionAccumulator
		for stream.Next() {
			gomega.Expect(sum.AddChunk(stream.Current())).To(gomega.BeTrue())
		}
		gomega.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
		gomega.Expect(sum.Choices[0].Message.Content).To(gomega.Equal(want))
		gomega.Expect(string(sum.Choices[0].Message.Role)).To(gomega.Equal("assistant"))
		gomega.Expect(sum.Choices[0].FinishReason).To(gomega.Equal("length"))
	})

	ginkgo.It("gets a plain completion", func(ctx context.Context) {
		answer, err := client.Completions.New(ctx, openai.CompletionNewParams{
			Model: "quote", MaxTokens: openai.Int(8), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("six boards")},
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(answer.Choices[0].Text).To(gomega.Equal(bergamotfake.Reference("six boards", 0, layers, 8)))
	})

	ginkgo.It("lists the models", func(ctx context.Context) {
		page, err := client.Models.List(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var ids []string
		for _, m := range page.Data {
			ids = append(ids, m.ID)
		}
		gomega.Expect(ids).To(gomega.ContainElements("advice", "quote"))
	})

	ginkgo.It("reads the code of an error", func(ctx context.Context) {
		_, err := client.Chat.Completions.New(ctx, chat("unknown"))
		var api *openai.Error
		gomega.Expect(errors.As(err, &api)).To(gomega.BeTrue())
		gomega.Expect(api.StatusCode).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(api.Code).To(gomega.Equal("model"))
		gomega.Expect(strings.ToLower(api.Message)).To(gomega.ContainSubstring("unknown"))
		gomega.Expect(api.Response.Header.Get("Bergamot-Run")).To(gomega.Equal("no"))
	})
})
