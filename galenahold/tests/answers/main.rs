//! Answers of models reach their callers whole, or end in an error that says so.

mod answer_fleet;
mod cut_answers;
mod cut_streams;
mod deadly_prompts;
mod gone_callers;
