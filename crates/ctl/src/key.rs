//! The command `hickoryctl key`.

use bpaf::Bpaf;
use hickorycourse_settings::hash_key;

use crate::output::CommandError;

/// Keys and their hashes
#[derive(Bpaf, Clone, Debug)]
pub enum KeyCommand {
    /// Print the hash of a key in the form that the settings use
    #[bpaf(command)]
    Hash {
        /// Key to hash
        #[bpaf(positional("KEY"))]
        key: String,
    },
    /// Generate a random key and print it with its hash
    #[bpaf(command)]
    New,
}

const KEY_BYTES: usize = 24;

/// Executes a key command and prints the result.
pub fn run(command: KeyCommand) -> Result<(), CommandError> {
    match command {
        KeyCommand::Hash { key } => println!("{}", hash_key(&key)),
        KeyCommand::New => {
            let bytes: [u8; KEY_BYTES] = rand::random();
            let key: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
            println!("key  {key}\nhash {}", hash_key(&key));
        }
    }
    Ok(())
}
